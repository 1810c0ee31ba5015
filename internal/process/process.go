package process

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"endivespring/internal/ring"
)

const (
	logMode     = 0o640
	killTimeout = 5 * time.Second // longest wait for a killed process to exit
)

// Process is a program that can be started repeatedly. It is not safe for concurrent
// use.
type Process struct {
	// Folder is the working folder. The log is the file Name.log in it.
	Name, Binary, Folder string
	Args                 []string

	// Starts is the number of successful starts.
	Starts  int
	process *os.Process
	exit    ring.Reply[error]
}

// Start starts the process unless it is running. Its output is appended to its log.
func (p *Process) Start() error {
	if p.Running() {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.Folder, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	cmd := exec.Command(p.Binary, p.Args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.Folder, log, log
	// In its own process group it gets no interrupt from the terminal.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return eris.Wrapf(err, "start %s", p.Name)
	}
	exit := ring.NewReply[error]()
	p.Starts++
	p.process, p.exit = cmd.Process, exit
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		exit.Send(err)
	}()
	return nil
}

// Running reports whether the process is running.
func (p *Process) Running() bool { return p.process != nil && p.exit.Depth() == 0 }

// PID returns the process id, or 0 if the process has not been started.
func (p *Process) PID() int {
	if p.process == nil {
		return 0
	}
	return p.process.Pid
}

// Signal sends a signal to the process if it is running.
func (p *Process) Signal(s syscall.Signal) {
	if p.Running() {
		_ = p.process.Signal(s) // fails if the process has just exited
	}
}

// Kill sends SIGKILL and waits until the process has exited, at most killTimeout.
func (p *Process) Kill() {
	if !p.Running() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), killTimeout)
	defer cancel()
	p.Signal(syscall.SIGKILL)
	if err, waitErr := p.exit.Take(ctx); waitErr == nil {
		p.exit.Send(err)
	}
}
