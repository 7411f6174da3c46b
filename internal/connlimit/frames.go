package connlimit

import "encoding/binary"

const (
	frameHeaderBytes   = 9
	messagePrefixBytes = 5 // of a gRPC message: a flag and the length
	prefaceBytes       = 24

	frameData         = 0
	frameHeaders      = 1
	frameResetStream  = 3
	frameContinuation = 9
	flagEndStream     = 0x1
	flagPadded        = 0x8

	// streamCost is what a call takes before its message is complete, headersCost how many times
	// their compressed size headers take, and dataFrameCost what a DATA frame takes beyond its
	// bytes: gRPC keeps each in a buffer of its own.
	streamCost    = 4 << 10
	headersCost   = 4
	dataFrameCost = 512
)

// frames follows the HTTP/2 frames that a gRPC client sends and computes what the server holds of
// messages that are not complete. It does not check the protocol; the server does.
type frames struct {
	preface int // bytes of the preface that were read
	header  [frameHeaderBytes]byte
	have    int // bytes of header

	kind, flags byte
	stream      uint32
	left        int // bytes of the frame's payload that are to come

	streams map[uint32]*message // with an incomplete message
	pending int64               // sum of the costs
}

// message is an incomplete message of a stream.
type message struct {
	prefix [messagePrefixBytes]byte
	have   int // bytes of prefix
	left   int64
	cost   int64
	opened bool // a message was complete before
}

// feed takes the next bytes of the connection.
func (f *frames) feed(p []byte) {
	n := min(prefaceBytes-f.preface, len(p))
	f.preface += n
	p = p[n:]
	for len(p) > 0 {
		if f.have < frameHeaderBytes {
			n := copy(f.header[f.have:], p)
			f.have += n
			p = p[n:]
			if f.have < frameHeaderBytes {
				return
			}
			f.begin()
		}
		n := min(f.left, len(p))
		if f.kind == frameData && f.flags&flagPadded == 0 {
			f.data(p[:n])
		}
		p = p[n:]
		f.left -= n
		if f.left == 0 {
			f.end()
			f.have = 0
		}
	}
}

// begin decodes the header of a frame and charges the frame.
func (f *frames) begin() {
	f.left = int(f.header[0])<<16 | int(f.header[1])<<8 | int(f.header[2])
	f.kind, f.flags = f.header[3], f.header[4]
	f.stream = binary.BigEndian.Uint32(f.header[5:]) & (1<<31 - 1)
	switch {
	case f.kind == frameHeaders:
		f.charge(streamCost + headersCost*int64(f.left))
	case f.kind == frameContinuation:
		f.charge(headersCost * int64(f.left))
	case f.kind == frameData && f.flags&flagPadded != 0: // no gRPC client of ours pads
		f.charge(dataFrameCost + int64(f.left))
	case f.kind == frameData:
		f.charge(dataFrameCost)
	}
}

func (f *frames) charge(cost int64) {
	m := f.streams[f.stream]
	if m == nil {
		if f.streams == nil {
			f.streams = map[uint32]*message{}
		}
		m = &message{opened: f.kind == frameData}
		f.streams[f.stream] = m
	}
	m.cost += cost
	f.pending += cost
}

// data takes bytes of messages of the current stream.
func (f *frames) data(p []byte) {
	m := f.streams[f.stream]
	m.cost += int64(len(p))
	f.pending += int64(len(p))
	for len(p) > 0 {
		if m.have < messagePrefixBytes {
			n := copy(m.prefix[m.have:], p)
			m.have += n
			p = p[n:]
			if m.have < messagePrefixBytes {
				return
			}
			m.left = int64(binary.BigEndian.Uint32(m.prefix[1:]))
		}
		n := int(min(m.left, int64(len(p))))
		p = p[n:]
		m.left -= int64(n)
		if m.left == 0 { // delivered; what follows belongs to the next message
			m.have, m.opened = 0, true
			f.pending -= m.cost - int64(len(p))
			m.cost = int64(len(p))
		}
	}
}

// end ends a frame: it forgets a stream that has ended or has no incomplete message.
func (f *frames) end() {
	m := f.streams[f.stream]
	if m == nil {
		return
	}
	ends := f.kind == frameResetStream || f.flags&flagEndStream != 0 && (f.kind == frameData || f.kind == frameHeaders)
	padded := f.kind == frameData && f.flags&flagPadded != 0
	idle := f.kind == frameData && !padded && m.opened && m.have == 0
	if ends || idle {
		f.pending -= m.cost
		delete(f.streams, f.stream)
	}
}
