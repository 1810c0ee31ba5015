package controlnode

import (
	"google.golang.org/grpc"

	"endivespring/internal/consensus"
	"endivespring/internal/event"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

// consensusServer receives consensus messages from other control processes.
type consensusServer struct {
	wirepb.UnimplementedConsensusServer
	fleet   string
	events  event.Recorder
	inbound *ring.Ring[*consensus.Message]
}

// Deliver queues messages for the consensus duty and acknowledges each on
// arrival. The acknowledgement only shows that the connection works. A full
// ring drops its oldest message; the core of the sender sends again.
func (s *consensusServer) Deliver(stream grpc.BidiStreamingServer[wirepb.ConsensusMessage, wirepb.Empty]) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		if message.GetFleet() != s.fleet {
			return peer.RefuseFleet(stream.Context(), s.events, s.fleet, message.GetFleet())
		}
		peer.Admit(stream.Context())
		_ = s.inbound.Put(stream.Context(), wire.ToMessage(message))
		if err := stream.Send(&wirepb.Empty{}); err != nil {
			return err
		}
	}
}
