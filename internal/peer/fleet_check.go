package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"endivespring/internal/event"
)

// FleetRetryDelay is how long a process waits before it connects again to a
// process that refused its fleet. Such a refusal lasts until settings change.
const FleetRetryDelay = 5 * time.Second

// RefuseFleet records that a stream came from another fleet and returns the
// error that ends the stream. Messages on every stream between processes carry
// the fleet's name, so that wrong addresses cannot mix two fleets.
func RefuseFleet(ctx context.Context, events event.Recorder, own, other string) error {
	from := ""
	if remote, ok := grpcpeer.FromContext(ctx); ok {
		from = remote.Addr.String()
	}
	events.Record(event.FleetRefused, event.F("fleet", other), event.F("address", from))
	return status.Errorf(codes.PermissionDenied, "fleet %q is not %q", other, own)
}

// IsFleetRefused reports whether a stream ended because the other process refused
// this process's fleet.
func IsFleetRefused(err error) bool { return status.Code(err) == codes.PermissionDenied }
