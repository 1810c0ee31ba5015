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
	announceTimeout  = "1.5s"  // silence after which an upstream is lost: three announcements
	standinSlots     = 10      // requests that a stand-in runs at once when warm
	standinColdSlots = 4       // requests that it bears right after a start
	standinLatency   = "5ms"   // how long a run takes
	announceInterval = "500ms" // time between announcements
)

// addControls adds the control processes and returns their addresses.
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

// addControl writes the settings of one control process, which reaches each of
// the others by a path of its own.
func (f *testFleet) addControl(ctx context.Context, i int, name string, peers []settings.ControlPeer) error {
	reached := append([]settings.ControlPeer(nil), peers...)
	for j := range reached {
		if j == i {
			continue
		}
		var err error
		if reached[j].Peer, err = f.openPath(ctx, name, reached[j].Name, reached[j].Peer); err != nil {
			return err
		}
	}
	folder := filepath.Join(f.folder, name)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return eris.Wrap(err, "make data folder")
	}
	f.addProcess(name, "control", "--settings", name+".json")
	return f.writeSettings(name+".json", map[string]any{
		"fleet": fleetName, "name": name, "dataCentre": f.dataCentre(i), "dataFolder": folder,
		"tokenFile": filepath.Join(f.folder, "token"), "peers": reached, "snapshotEntries": snapshotEntries,
	}, &settings.Control{})
}

// addRouter writes the settings of a router and adds the stand-in beside it.
func (f *testFleet) addRouter(ctx context.Context, i int, peers []settings.ControlPeer) error {
	name, upstream := f.topology.routers[i], f.topology.upstreams[i]
	own, err := f.newAddresses(3)
	if err != nil {
		return err
	}
	caller, announce, peer := own[0], own[1], own[2]
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

// addUpstream adds a stand-in that its router reaches by a path, and the
// other way round.
func (f *testFleet) addUpstream(ctx context.Context, i int, router, name, announce string) error {
	own, err := f.newAddresses(1)
	if err != nil {
		return err
	}
	reached, err := f.openPath(ctx, router, name, own[0])
	if err != nil {
		return err
	}
	announced, err := f.openPath(ctx, name, router, announce)
	if err != nil {
		return err
	}
	f.dataCentreOf[name] = f.dataCentre(i)
	f.addProcess(name, "standin", "--name", name, "--service", serviceOf(i), "--address", own[0], "--advertise", reached, "--announce", announced,
		"--slots", strconv.Itoa(standinSlots), "--cold-slots", strconv.Itoa(standinColdSlots), "--latency", standinLatency, "--announce-every", announceInterval,
		"--ledger", filepath.Join(f.folder, name+standin.LedgerSuffix))
	return nil
}

// centre returns the data centre of the process with a number from 0; routers
// of every service are in each.
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
