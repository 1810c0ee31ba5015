package router

import (
	"github.com/rotisserie/eris"

	"endivespring/internal/call"
	"endivespring/internal/memory"
	"endivespring/internal/peer"
	"endivespring/internal/wire/wirepb"
)

// bodyJoiner puts the bodies together that arrive in parts on one link. Parts of calls that
// it doesn't know, since they were refused or cancelled, are dropped.
type bodyJoiner struct {
	buffers *memory.Buffers
	calls   map[uint64]*incomingCall
}

// begin takes a call whose body of the given length follows. It reports false if there is no
// memory for the body.
func (j *bodyJoiner) begin(request *call.Call, length uint64) bool {
	if length > peer.MaxMessage {
		return false
	}
	buffer := j.buffers.Make(int(length))
	if buffer == nil {
		return false
	}
	request.Body = buffer[:0]
	j.calls[request.Number] = &incomingCall{call: *request, length: int(length)}
	return true
}

// add appends a part and returns the call once its body is complete, else nil.
func (j *bodyJoiner) add(part *wirepb.BodyPart) (*incomingCall, error) {
	in := j.calls[part.GetNumber()]
	if in == nil {
		return nil, nil
	}
	if len(in.call.Body)+len(part.GetData()) > in.length {
		return nil, eris.Errorf("the body of call %d is longer than the %d bytes that were announced", part.GetNumber(), in.length)
	}
	in.call.Body = append(in.call.Body, part.GetData()...)
	if len(in.call.Body) < in.length {
		return nil, nil
	}
	delete(j.calls, part.GetNumber())
	return in, nil
}

// drop forgets a call and reports whether its body was not complete yet.
func (j *bodyJoiner) drop(number uint64) bool {
	_, known := j.calls[number]
	delete(j.calls, number)
	return known
}
