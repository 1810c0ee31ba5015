package httphead

import (
	"bufio"
	"errors"
	"time"

	"github.com/valyala/fasthttp"
)

// Transport is the transport of a fasthttp client that takes no response with a malformed head
// for an answer. It follows the timeout of the request and the client's limit on bodies. Other
// timeouts of the client and streamed bodies are not supported.
type Transport struct{}

// RoundTrip sends a request and reads its response. It never asks for a retry. Its errors are
// those of Read, fasthttp.ErrTimeout, and those of the connection.
func (Transport) RoundTrip(host *fasthttp.HostClient, request *fasthttp.Request, response *fasthttp.Response) (retry bool, err error) {
	timeout, deadline := request.GetTimeOut(), time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	connection, err := host.AcquireConn(timeout, request.ConnectionClose())
	if err != nil {
		return false, err
	}
	if err = connection.Conn().SetDeadline(deadline); err == nil {
		writer, reader := host.AcquireWriter(connection.Conn()), host.AcquireReader(connection.Conn())
		err = exchange(writer, reader, request, response, host.MaxResponseBodySize)
		host.ReleaseWriter(writer)
		host.ReleaseReader(reader)
	}
	if err != nil || request.ConnectionClose() || response.ConnectionClose() {
		host.CloseConn(connection)
	} else {
		host.ReleaseConn(connection)
	}
	var timed interface{ Timeout() bool }
	if errors.As(err, &timed) && timed.Timeout() {
		return false, fasthttp.ErrTimeout
	}
	return false, err
}

func exchange(writer *bufio.Writer, reader *bufio.Reader, request *fasthttp.Request, response *fasthttp.Response, maxBody int) error {
	if err := request.Write(writer); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	if err := Read(reader, &response.Header); err != nil {
		return err
	}
	status := response.StatusCode()
	response.SkipBody = response.SkipBody || request.Header.IsHead()
	if response.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	if err := response.ReadBody(reader, maxBody); err != nil {
		return err
	}
	if response.Header.ContentLength() >= 0 {
		return nil
	}
	return ReadTrailer(reader, &response.Header)
}
