package scenarios

import (
	"net"
	"sync"
	"time"
)

// relay is a TCP path from one process to another. In the mode heldPath no byte
// passes in either direction and connections stay open; bytes held back pass
// once the path is healed, as they would by retransmission.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  relayMode
	delay time.Duration
	open  map[*relayed]bool
	// changed is closed and replaced when the mode changes.
	changed chan struct{}
}

// relayMode is what a relay does with bytes.
type relayMode int

const (
	openPath relayMode = iota
	cutPath
	heldPath
)

// relayed is one connection through a relay. Once lost, its bytes vanish for good.
type relayed struct {
	near, far net.Conn
	lost      bool
}

// chunk is bytes and when they are due at the other end.
type chunk struct {
	data []byte
	due  time.Time
}

func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, open: map[*relayed]bool{}, changed: make(chan struct{})}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// set changes the mode. Cutting closes every open connection.
func (r *relay) set(mode relayMode, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode, r.delay = mode, delay
	close(r.changed)
	r.changed = make(chan struct{})
	if mode == cutPath {
		r.closeAll()
	}
}

// silence loses all bytes of the connections open now; new ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.lost = true
	}
}

func (r *relay) closeAll() {
	for c := range r.open {
		_ = c.near.Close()
		_ = c.far.Close()
		delete(r.open, c)
	}
}

func (r *relay) stop() {
	_ = r.listener.Close()
	r.set(cutPath, 0)
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.join(near)
	}
}

func (r *relay) join(near net.Conn) {
	if !r.passable() {
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &relayed{near: near, far: far}
	r.mu.Lock()
	r.open[c] = true
	if r.mode == cutPath {
		r.closeAll()
	}
	r.mu.Unlock()
	go r.pump(c, near, far)
	go r.pump(c, far, near)
}

// passable waits while the path is held and reports whether it is not cut.
func (r *relay) passable() bool {
	for {
		r.mu.Lock()
		mode, changed := r.mode, r.changed
		r.mu.Unlock()
		if mode != heldPath {
			return mode == openPath
		}
		<-changed
	}
}

// pump copies one direction until either end closes.
func (r *relay) pump(c *relayed, from, to net.Conn) {
	chunks := make(chan chunk, 1024)
	go r.deliver(c, to, chunks)
	defer close(chunks)
	for {
		buffer := make([]byte, 16<<10)
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		due := time.Now().Add(r.delay)
		r.mu.Unlock()
		chunks <- chunk{data: buffer[:n], due: due}
	}
}

// deliver writes chunks when they are due. A close passes like bytes do.
func (r *relay) deliver(c *relayed, to net.Conn, chunks chan chunk) {
	for ch := range chunks {
		time.Sleep(time.Until(ch.due))
		if !r.passable() {
			continue
		}
		if !r.isLost(c) {
			_, _ = to.Write(ch.data)
		}
	}
	if r.passable() && !r.isLost(c) {
		r.forget(c)
	}
}

func (r *relay) isLost(c *relayed) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.lost
}

func (r *relay) forget(c *relayed) {
	_ = c.near.Close()
	_ = c.far.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}
