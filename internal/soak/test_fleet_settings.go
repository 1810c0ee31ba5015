package soak

import (
	"context"
	"os"
	"path/filepath"
	"strconv"

	"github.com/rotisserie/eris"

	"endivespring/internal/settings"
	"endivespring/internal/standin"
)

const (
	snapshotEntries  = 64      // log entries between snapshots; few, so that runs cross several
	announceTimeout  = "1.5s"  // an upstream is lost after missing three announcements
	standinSlots     = 10      // concurrent requests of a warm upstream
	standinColdSlots = 4       // concurrent requests of an upstream right after its start
	standinLatency   = "5ms"   // how long an execution takes
	announceInterval = "500ms" // time between two announcements of an upstream
)

// addControls adds all control processes and returns their own addresses, which are
// the targets of the paths from other processes.
func (f *testFleet) addControls(ctx context.Context) ([]settings.ControlPeer, error) {
	peers := make([]settings.ControlPeer, len(f.topology.controls))
	for i, name := range f.topology.controls {
		addresses, err := f.newAddresses(2)
		if err != nil {
			return nil, err
		}
		peers[i] = settings.ControlPeer{Name: name, Peer: addresses[0], Operator: addresses[1]}
		f.operatorAddresses = append(f.operatorAddresses, addresses[1])
	}
	for i, name := range f.topology.controls {
		if err := f.addControl(ctx, i, name, peers); err != nil {
			return nil, err
		}
	}
	return peers, nil
}

// addControl adds a control process that reaches each of its peers by a separate
// path.
func (f *testFleet) addControl(ctx context.Context, i int, name string, peers []settings.ControlPeer) error {
	relayedPeers := append([]settings.ControlPeer(nil), peers...)
	for j := range relayedPeers {
		if j == i {
			continue
		}
		var err error
		if relayedPeers[j].Peer, err = f.openPath(ctx, name, relayedPeers[j].Name, relayedPeers[j].Peer); err != nil {
			return err
		}
	}
	folder := filepath.Join(f.folder, name)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return eris.Wrap(err, "create data folder")
	}
	f.addProcess(name, "control", "--settings", name+".json")
	return f.writeSettings(name+".json", map[string]any{
		"fleet": fleetName, "name": name, "dataCentre": f.dataCentre(i), "dataFolder": folder,
		"tokenFile": filepath.Join(f.folder, "token"), "peers": relayedPeers, "snapshotEntries": snapshotEntries,
	}, &settings.Control{})
}

// addRouter adds a router and its upstream. All connections to the router, and its
// connections to control processes and to the upstream, go through paths.
func (f *testFleet) addRouter(ctx context.Context, i int, peers []settings.ControlPeer) error {
	name, upstream := f.topology.routers[i], f.topology.upstreams[i]
	addresses, err := f.newAddresses(3)
	if err != nil {
		return err
	}
	caller, announce, peer := addresses[0], addresses[1], addresses[2]
	var control []string
	for _, p := range peers {
		address, err := f.openPath(ctx, name, p.Name, p.Peer)
		if err != nil {
			return err
		}
		control = append(control, address)
	}
	advertised, err := f.openPath(ctx, routersEnd, name, peer)
	if err != nil {
		return err
	}
	if f.callerAddresses[name], err = f.openPath(ctx, callersEnd, name, caller); err != nil {
		return err
	}
	f.addProcess(name, "router", "--settings", name+".json")
	if err := f.writeSettings(name+".json", map[string]any{
		"fleet": fleetName, "name": name, "dataCentre": f.dataCentre(i), "caller": caller, "announce": announce, "peer": peer,
		"advertise": advertised, "control": control, "announceTimeout": announceTimeout,
	}, &settings.Router{}); err != nil {
		return err
	}
	return f.addUpstream(ctx, i, name, upstream, announce)
}

// addUpstream adds a stand-in as the upstream of a router, with one path for
// requests and one for announcements.
func (f *testFleet) addUpstream(ctx context.Context, i int, router, name, announce string) error {
	addresses, err := f.newAddresses(1)
	if err != nil {
		return err
	}
	advertised, err := f.openPath(ctx, router, name, addresses[0])
	if err != nil {
		return err
	}
	announced, err := f.openPath(ctx, name, router, announce)
	if err != nil {
		return err
	}
	f.dataCentreOf[name] = f.dataCentre(i)
	f.addProcess(name, "standin", "--name", name, "--service", serviceOf(i), "--address", addresses[0], "--advertise", advertised, "--announce", announced,
		"--slots", strconv.Itoa(standinSlots), "--cold-slots", strconv.Itoa(standinColdSlots), "--latency", standinLatency, "--announce-every", announceInterval,
		"--ledger", filepath.Join(f.folder, name+standin.LedgerSuffix))
	return nil
}

// dataCentre returns the data centre of the i-th router or control process, counted
// from 0. Each data centre gets routers of every service.
func (f *testFleet) dataCentre(i int) string {
	return f.topology.dataCentres[i/serviceCount%len(f.topology.dataCentres)]
}

func (f *testFleet) newAddresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		var err error
		if out[i], err = f.ports.Address(); err != nil {
			return nil, err
		}
	}
	return out, nil
}
