package process

import (
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestProcessCanBeRestarted kills a program and starts it again. It guards against a
// second process from a Start while the first is running.
func TestProcessCanBeRestarted(t *testing.T) {
	p := &Process{Name: "p", Binary: "/bin/sh", Folder: t.TempDir(), Args: []string{"-c", "echo up; exec sleep 60"}}
	for want := 1; want <= 2; want++ {
		assert.NilError(t, p.Start())
		assert.NilError(t, p.Start(), "start of a running process")
		assert.Assert(t, p.Running())
		assert.Equal(t, p.Starts, want)
		p.Kill()
		assert.Assert(t, !p.Running())
	}
	p.Signal(syscall.SIGTERM) // no effect on an exited process
	_, err := os.Stat(filepath.Join(p.Folder, "p.log"))
	assert.NilError(t, err)
}

// TestExitIsNoticed guards against a process that counts as running after it has
// exited by itself.
func TestExitIsNoticed(t *testing.T) {
	p := &Process{Name: "p", Binary: "/bin/true", Folder: t.TempDir()}
	assert.NilError(t, p.Start())
	for end := time.Now().Add(10 * time.Second); p.Running(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
}

func TestPortsAreUnique(t *testing.T) {
	ports, seen := NewPorts(), map[string]bool{}
	for range 50 {
		address, err := ports.Address()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], address)
		seen[address] = true
		listener, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, listener.Close())
	}
}
