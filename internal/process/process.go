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
	killTimeout = 5 * time.Second // longest time that a killed process takes to be gone
)

// Process is a program that can be started again and again. It is owned by one
// goroutine at a time.
type Process struct {
	// Name names the log, Folder holds it and is the working folder.
	Name, Binary, Folder string
	Args                 []string

	// Starts counts how often it was started.
	Starts  int
	process *os.Process
	exit    ring.Reply[error]
}

// Start starts the process unless it runs. Its output is appended to its log.
func (p *Process) Start() error {
	if p.Alive() {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.Folder, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	cmd := exec.Command(p.Binary, p.Args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.Folder, log, log
	// A process group of its own keeps the terminal's interrupt from it.
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

// Alive reports whether it runs.
func (p *Process) Alive() bool { return p.process != nil && p.exit.Depth() == 0 }

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(s syscall.Signal) {
	if p.Alive() {
		_ = p.process.Signal(s) // it may have ended meanwhile
	}
}

// Kill ends the process and waits until it is gone.
func (p *Process) Kill() {
	if !p.Alive() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), killTimeout)
	defer cancel()
	p.Signal(syscall.SIGKILL)
	if err, timedOut := p.exit.Take(ctx); timedOut == nil {
		p.exit.Send(err)
	}
}
