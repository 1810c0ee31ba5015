// Package peer opens connections between the system's own processes.
package peer

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	// MaxMessage is the largest message between processes, in bytes.
	MaxMessage = 256 << 20

	connectTimeout = time.Second
	windowSize     = 256 << 10 // bytes of flow control window
	bufferSize     = 8 << 10   // bytes of read and write buffer of a connection
)

// Dial returns a connection to an address. The library's retries, service
// configuration and name resolution are off: the callers decide.
func Dial(address string) (*grpc.ClientConn, error) {
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.5, MaxDelay: time.Second},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize),
		grpc.WithInitialWindowSize(windowSize), grpc.WithInitialConnWindowSize(windowSize),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage), grpc.MaxCallSendMsgSize(MaxMessage)),
	)
	return connection, eris.Wrapf(err, "dial %s", address)
}

// NewServer returns a server for the system's own processes.
func NewServer() *grpc.Server {
	return grpc.NewServer(grpc.MaxRecvMsgSize(MaxMessage), grpc.MaxSendMsgSize(MaxMessage),
		grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize),
		grpc.InitialWindowSize(windowSize), grpc.InitialConnWindowSize(windowSize))
}

// Serve runs a server until it is stopped. One that was stopped before it could
// start is no failure.
func Serve(server *grpc.Server, listener net.Listener) error {
	if err := server.Serve(listener); !eris.Is(err, grpc.ErrServerStopped) {
		return eris.Wrapf(err, "serve on %s", listener.Addr())
	}
	return nil
}

// Listen opens a TCP listener; the error names the address.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, eris.Wrapf(err, "listen on %s", address)
}
