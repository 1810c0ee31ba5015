package router

import (
	"net"

	"endivespring/internal/peer"
)

// listeners are the listening sockets of a router. A listener without an address
// in the settings is nil.
type listeners struct {
	caller, announce, peer, metrics        net.Listener
	frontCaller, frontAnnounce, frontReady net.Listener
}

// listen opens a listener for each address in the settings. On an error it closes
// those already open.
func (n *Node) listen() (*listeners, error) {
	s, l := n.settings, &listeners{}
	for _, open := range []struct {
		address  string
		listener *net.Listener
	}{
		{s.Caller, &l.caller}, {s.Announce, &l.announce}, {s.Peer, &l.peer}, {s.Metrics, &l.metrics},
		{s.FrontEnd.Caller, &l.frontCaller}, {s.FrontEnd.Announce, &l.frontAnnounce}, {s.FrontEnd.Ready, &l.frontReady},
	} {
		if open.address == "" {
			continue
		}
		listener, err := peer.Listen(open.address)
		if err != nil {
			l.close()
			return nil, err
		}
		*open.listener = listener
	}
	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.announce, l.peer, l.metrics, l.frontCaller, l.frontAnnounce, l.frontReady} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
