package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"endivespring/internal/event"
)

// RefusedDelay is how long a process waits before it tries again at one of
// another fleet.
const RefusedDelay = 5 * time.Second

// RefuseFleet logs that a stream came from another fleet and returns the error
// that ends it. Every stream between processes carries the fleet's name.
func RefuseFleet(ctx context.Context, events event.Recorder, own, other string) error {
	from := ""
	if remote, ok := grpcpeer.FromContext(ctx); ok {
		from = remote.Addr.String()
	}
	events.Record(event.FleetRefused, event.F("fleet", other), event.F("address", from))
	return status.Errorf(codes.PermissionDenied, "fleet %q is not %q", other, own)
}

// RefusedFleet reports whether a stream ended because its fleet was refused.
func RefusedFleet(err error) bool { return status.Code(err) == codes.PermissionDenied }
