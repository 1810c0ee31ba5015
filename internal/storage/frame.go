// Package storage keeps a node's write-ahead log, snapshot and identity in its
// data folder. Every write is synced, file and folder, before it is
// acknowledged.
package storage

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

const (
	frameMagic      = 0x45535047 // marks the start of a frame
	frameHeaderSize = 12         // bytes: magic, payload length, checksum
	maxFramePayload = 256 << 20  // bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame to buf: a header with a checksum, and the payload.
func appendFrame(buf, payload []byte) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, frameMagic)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(payload, castagnoli))
	return append(buf, payload...)
}

// readFrame returns the payload of the frame at the start of buf and the bytes
// after the frame, or false if buf starts with no complete and intact frame.
func readFrame(buf []byte) (payload, rest []byte, ok bool) {
	if len(buf) < frameHeaderSize || binary.LittleEndian.Uint32(buf) != frameMagic {
		return nil, nil, false
	}
	length := int(binary.LittleEndian.Uint32(buf[4:]))
	if length > maxFramePayload || length > len(buf)-frameHeaderSize {
		return nil, nil, false
	}
	payload = buf[frameHeaderSize : frameHeaderSize+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(buf[8:]) {
		return nil, nil, false
	}
	return payload, buf[frameHeaderSize+length:], true
}

// frameSize returns the size in bytes of the frame at the start of buf according
// to its header, or math.MaxInt if buf starts with no header.
func frameSize(buf []byte) int {
	if len(buf) < frameHeaderSize || binary.LittleEndian.Uint32(buf) != frameMagic {
		return math.MaxInt
	}
	return frameHeaderSize + int(binary.LittleEndian.Uint32(buf[4:]))
}

// containsFrame reports whether a complete and intact frame starts anywhere in
// buf.
func containsFrame(buf []byte) bool {
	for i := 0; i+frameHeaderSize <= len(buf); i++ {
		if _, _, ok := readFrame(buf[i:]); ok {
			return true
		}
	}
	return false
}
