package controlnode

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"endivespring/internal/consensus"
	"endivespring/internal/ring"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

// consensusServer takes consensus messages from other control processes.
type consensusServer struct {
	wirepb.UnimplementedConsensusServer
	fleet   string
	inbound *ring.Ring[*consensus.Message]
}

// Deliver puts messages on the ring of the consensus duty; a full ring drops
// the oldest.
func (s *consensusServer) Deliver(stream grpc.ClientStreamingServer[wirepb.ConsensusMessage, wirepb.Empty]) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		if message.GetFleet() != s.fleet {
			return status.Errorf(codes.PermissionDenied, "fleet %q is not %q", message.GetFleet(), s.fleet)
		}
		_ = s.inbound.Put(stream.Context(), wire.ToMessage(message))
	}
}
