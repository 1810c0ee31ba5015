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

// world is the processes of a run and the paths between them.
type testFleet struct {
	plan      *Plan
	topology  *topology
	folder    string
	binary    string
	ports     *process.Ports
	processes map[string]*process.Process
	paths     map[string]*relay.Relay
	// callers are the addresses by which callers reach each router.
	callerAddresses map[string]string
	// operators are the control processes' addresses for operators.
	operatorAddresses []string
	dataCentreOf      map[string]string
}

// newWorld writes the settings of all processes into a folder and opens the
// paths. Nothing is started yet.
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

// path opens the path from one process to an address of another and returns by
// which address it is reached.
func (f *testFleet) openPath(ctx context.Context, from, to, target string) (string, error) {
	r, err := relay.New(ctx, target)
	if err != nil {
		return "", err
	}
	f.paths[from+pathSeparator+to] = r
	return r.Address(), nil
}

// write puts settings into a file, checked as the process will check them.
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

// add adds a process. Clock and disk of control processes and routers can
// misbehave in builds for that.
func (f *testFleet) addProcess(name string, args ...string) {
	if f.plan.Trial && !isUpstream(name) {
		args = append(args, "--trial", f.faultFile(name))
	}
	f.processes[name] = &process.Process{Name: name, Binary: f.binary, Folder: f.folder, Args: args}
}

// start starts every process, control first.
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

// stop ends every process and path.
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

// empty removes what a control process has on its disk.
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
