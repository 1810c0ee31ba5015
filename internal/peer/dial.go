// Package peer opens and accepts connections between the system's own
// processes.
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
	// MaxMessage is the size limit of a message between processes, in bytes.
	MaxMessage = 256 << 20

	connectTimeout = time.Second
	windowSize     = 256 << 10 // bytes of the flow control windows of streams and connections
	bufferSize     = 8 << 10   // bytes of the read and write buffers of a connection
)

// Dial returns a client connection to an address. It is opened on first use. The
// library's retries, service configuration and name resolution are off: callers
// decide when to retry and where to connect.
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

// NewServer returns a gRPC server with the limits that Dial uses.
func NewServer() *grpc.Server { return newServer() }

func newServer(more ...grpc.ServerOption) *grpc.Server {
	return grpc.NewServer(append(more, grpc.MaxRecvMsgSize(MaxMessage), grpc.MaxSendMsgSize(MaxMessage),
		grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeader), grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize),
		grpc.InitialWindowSize(windowSize), grpc.InitialConnWindowSize(windowSize))...)
}

// Serve accepts connections until the server is stopped. It returns nil also if
// the server was stopped before it started.
func Serve(server *grpc.Server, listener net.Listener) error {
	if err := server.Serve(listener); !eris.Is(err, grpc.ErrServerStopped) {
		return eris.Wrapf(err, "serve on %s", listener.Addr())
	}
	return nil
}

// Listen opens a TCP listener, which outlasts a want of descriptors. Its errors name the address.
func Listen(address string) (net.Listener, error) {
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return listener{Listener: opened}, nil
}
