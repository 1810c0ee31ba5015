package soak

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"endivespring/internal/operator"
	"endivespring/internal/process"
	"endivespring/internal/relay"
	"endivespring/internal/settings"
)

const (
	fleetName  = "soak"
	token      = "soak-token"
	folderMode = 0o750
	fileMode   = 0o640
	secretMode = 0o600
)

// testFleet holds the processes of a run and the network paths between them.
type testFleet struct {
	plan      *Plan
	topology  *topology
	folder    string
	binary    string
	ports     *process.Ports
	processes map[string]*process.Process
	paths     map[string]*relay.Relay
	// callerAddresses holds the address by which callers reach each router.
	callerAddresses map[string]string
	// operatorAddresses holds the control processes' addresses for operators.
	operatorAddresses []string
	dataCentreOf      map[string]string
}

// newTestFleet writes the settings of all processes into a folder and opens the
// paths. It starts no process. A fleet that is returned with an error must be
// stopped too, since some of its paths may be open.
func newTestFleet(ctx context.Context, plan *Plan, folder, binary string) (*testFleet, error) {
	f := &testFleet{
		plan: plan, topology: newTopology(plan), folder: folder, binary: binary, ports: process.NewPorts(), processes: map[string]*process.Process{},
		paths: map[string]*relay.Relay{}, callerAddresses: map[string]string{}, dataCentreOf: map[string]string{},
	}
	if err := os.WriteFile(filepath.Join(folder, "token"), []byte(token+"\n"), secretMode); err != nil {
		return nil, eris.Wrap(err, "write token")
	}
	peers, err := f.addControls(ctx)
	if err != nil {
		return f, err
	}
	for i := range f.topology.routers {
		if err := f.addRouter(ctx, i, peers); err != nil {
			return f, err
		}
	}
	return f, nil
}

// openPath opens the path from one process to an address of another one and returns
// the address at which the path accepts connections.
func (f *testFleet) openPath(ctx context.Context, from, to, target string) (string, error) {
	r, err := relay.New(ctx, target)
	if err != nil {
		return "", err
	}
	f.paths[from+pathSeparator+to] = r
	return r.Address(), nil
}

// writeSettings writes settings to a file after the checks that the process will do.
func (f *testFleet) writeSettings(name string, value, check any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	if err := settings.Parse(name, data, check); err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(filepath.Join(f.folder, name), data, fileMode), "write settings")
}

// addProcess adds a process without starting it. Control processes and routers get
// a fault file if the build allows clock and disk faults.
func (f *testFleet) addProcess(name string, args ...string) {
	if f.plan.ClockDiskFaults && !isUpstream(name) {
		args = append(args, "--trial", f.faultFile(name))
	}
	f.processes[name] = &process.Process{Name: name, Binary: f.binary, Folder: f.folder, Args: args}
}

// start starts every process: control processes, then routers, then upstreams.
func (f *testFleet) start() error {
	for _, names := range [][]string{f.topology.controls, f.topology.routers, f.topology.upstreams} {
		for _, name := range names {
			if err := f.processes[name].Start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// stop kills every process and closes every path. It returns the first error of a
// path.
func (f *testFleet) stop() error {
	for _, p := range f.processes {
		p.Kill()
	}
	var first error
	for name, r := range f.paths {
		if err := r.Stop(); err != nil && first == nil {
			first = eris.Wrapf(err, "path %s", name)
		}
	}
	return first
}

// wipeData empties the data folder of a control process.
func (f *testFleet) wipeData(name string) error {
	folder := filepath.Join(f.folder, name)
	if !strings.HasPrefix(name, "control-") {
		return eris.Errorf("%s has no data folder", name)
	}
	if err := os.RemoveAll(folder); err != nil {
		return eris.Wrap(err, "empty data folder")
	}
	return eris.Wrap(os.Mkdir(folder, folderMode), "empty data folder")
}

func (f *testFleet) newOperatorClient() *operator.Client {
	return operator.NewClient(f.operatorAddresses, token, leaderSearchTimeout)
}
