package httphead

import (
	"bufio"
	"io"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// maxHeads limits the heads read per response, interim (1xx) ones included.
const maxHeads = 4

// ErrInterim means that no final response came after interim ones.
var ErrInterim = eris.New("too many interim responses before the final response")

// Read reads the head of the next response and skips interim ones. It returns ErrStatus or
// ErrFieldName for a malformed head, ErrInterim, or an error of the reader or the parser.
func Read(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	for range maxHeads {
		if err := await(reader, checkResponse); err != nil {
			return err
		}
		if err := header.Read(reader); err != nil {
			return err
		}
		if header.StatusCode() > 199 {
			return nil
		}
	}
	return ErrInterim
}

// ReadTrailer reads the trailer section after a chunked body. Its errors are those of Read.
func ReadTrailer(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	if err := await(reader, checkFields); err != nil {
		return err
	}
	return header.ReadTrailer(reader)
}

// await reads ahead until check has found the end of the section that begins with the next
// unread byte, or an error in it.
func await(reader *bufio.Reader, check func(data []byte) (int, error)) error {
	for {
		data, _ := reader.Peek(reader.Buffered())
		if length, err := check(data); err != nil || length > 0 {
			return err
		}
		if _, err := reader.Peek(len(data) + 1); err == io.EOF && len(data) > 0 {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return err
		}
	}
}
