package wire

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/wire/wirepb"
)

// EncodeState encodes the replicated state for a snapshot.
func EncodeState(s *fsm.State) ([]byte, error) {
	out := &wirepb.ControlState{View: FromChange(s.View.Full()), LastSession: uint64(s.LastSession), ConfigAt: uint64(s.ConfigChangedAt)}
	for _, r := range s.Results {
		out.Results = append(out.Results, &wirepb.OperatorResult{
			CommandId: r.CommandID, Digest: r.Digest, Accepted: r.Result.Accepted, Reason: r.Result.Reason, Refusal: uint32(r.Result.Refusal),
			Config: uint64(r.Result.Config), Version: uint64(r.Result.Version),
		})
	}
	for _, o := range s.OpenedSessions {
		out.Opened = append(out.Opened, &wirepb.OpenedSession{Nonce: o.Nonce, Session: uint64(o.Session), Router: string(o.Router)})
	}
	for _, r := range s.FormerRouters {
		out.FormerRouters = append(out.FormerRouters, FromRouter(r))
	}
	for service, count := range s.ShardCounts {
		out.ShardCounts = append(out.ShardCounts, &wirepb.ShardCount{Service: service, Shards: count})
	}
	for _, kept := range s.KeptLoads {
		out.KeptLoads = append(out.KeptLoads, fromKeptLoads(kept))
	}
	data, err := proto.Marshal(out)
	return data, eris.Wrap(err, "encode control state")
}

// DecodeState decodes the replicated state from a snapshot. No bytes give the
// empty state.
func DecodeState(data []byte) (*fsm.State, error) {
	var in wirepb.ControlState
	if err := proto.Unmarshal(data, &in); err != nil {
		return nil, eris.Wrap(err, "decode control state")
	}
	s := fsm.NewState()
	if in.GetView() != nil {
		s.View.Merge(ToChange(in.GetView()))
		s.View.Version = fleet.Version(in.GetView().GetTo())
	}
	s.LastSession = fleet.Session(in.GetLastSession())
	s.ConfigChangedAt = fleet.Version(in.GetConfigAt())
	for _, r := range in.GetResults() {
		s.Results = append(s.Results, fsm.OperatorResult{CommandID: r.GetCommandId(), Digest: r.GetDigest(), Result: fsm.Result{
			Accepted: r.GetAccepted(), Reason: r.GetReason(), Refusal: fsm.Refusal(r.GetRefusal()),
			Config: fleet.Version(r.GetConfig()), Version: fleet.Version(r.GetVersion()),
		}})
	}
	for _, o := range in.GetOpened() {
		s.OpenedSessions = append(s.OpenedSessions, fsm.OpenedSession{Nonce: o.GetNonce(), Session: fleet.Session(o.GetSession()), Router: fleet.RouterID(o.GetRouter())})
	}
	for _, r := range in.GetFormerRouters() {
		s.FormerRouters = append(s.FormerRouters, ToRouter(r))
	}
	for _, c := range in.GetShardCounts() {
		s.ShardCounts[c.GetService()] = c.GetShards()
	}
	for _, kept := range in.GetKeptLoads() {
		s.KeptLoads[kept.GetService()] = toKeptLoads(kept)
	}
	s.RebuildIndex()
	return s, nil
}
