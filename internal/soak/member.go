package soak

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
	logMode  = 0o640
	pollEnd  = 20 * time.Millisecond // time between looks at whether a process has ended
	killTime = 5 * time.Second       // longest time that a killed process takes to be gone
)

// member is one process of the fleet. It is owned by one duty at a time.
type member struct {
	name, binary, folder string
	args                 []string

	// starts counts the processes that there were.
	starts  int
	process *os.Process
	ended   ring.Reply[error]
}

// start starts the process unless it runs. Its output is appended to its log.
func (m *member) start() error {
	if m.alive() {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(m.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	cmd := exec.Command(m.binary, m.args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.folder, log, log
	// A process group of its own keeps the terminal's interrupt from it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return eris.Wrapf(err, "start %s", m.name)
	}
	ended := ring.NewReply[error]()
	m.starts++
	m.process, m.ended = cmd.Process, ended
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		ended.Send(err)
	}()
	return nil
}

func (m *member) alive() bool { return m.process != nil && m.ended.Depth() == 0 }

// signal sends a signal to the process if it runs.
func (m *member) signal(s syscall.Signal) {
	if m.alive() {
		_ = m.process.Signal(s) // it may have ended meanwhile
	}
}

// kill ends the process and waits until it is gone.
func (m *member) kill() {
	if !m.alive() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), killTime)
	defer cancel()
	m.signal(syscall.SIGKILL)
	if err, late := m.ended.Take(ctx); late == nil {
		m.ended.Send(err)
	}
}
