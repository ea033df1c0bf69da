package answer

import (
	"encoding/binary"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// FrameType names what a Frame carries.
type FrameType uint8

// The types of frames.
const (
	// FrameHead carries the status and headers, at offset zero.
	FrameHead FrameType = iota + 1
	// FrameData carries a piece of the body.
	FrameData
	// FrameEnd ends a whole answer; its offset is the body's length.
	FrameEnd
	// FrameFail ends an answer that can't be completed.
	FrameFail
	// FrameHeartbeat tells that the stream lives.
	FrameHeartbeat
)

// Sizes of the framing.
const (
	frameHeaderBytes = 1 + 8 + 4 + 8 + 4
	MaxPayloadBytes  = 1 << 20
)

// Errors of reading an answer.
var (
	ErrBadFrame     = merry.Sentinel("invalid answer frame")
	ErrWrongRequest = merry.Sentinel("the answer belongs to another request")
	ErrGap          = merry.Sentinel("a part of the answer is missing")
	ErrDiscarded    = merry.Sentinel("the part of the answer is no longer kept")
	ErrTruncated    = merry.Sentinel("the answer ended early")
)

// Frame is one piece of an answer.
type Frame struct {
	Type    FrameType
	Request uint64
	Attempt uint32
	Offset  uint64
	Payload []byte
}

// Head is the payload of a FrameHead.
type Head struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	// FirstByteMillis is the time the upstream took to begin its answer.
	FirstByteMillis int64 `cbor:"3,keyasint,omitempty"`
}

// Failure is the payload of a FrameFail.
type Failure struct {
	// NotRun is true when the upstream certainly did not run the request.
	NotRun bool   `cbor:"1,keyasint,omitempty"`
	Detail string `cbor:"2,keyasint,omitempty"`
}

// End is the payload of a FrameEnd.
type End struct {
	// Cost is the service received, in units of cost.
	Cost int64 `cbor:"1,keyasint,omitempty"`
}

// EncodePayload returns the encoding of a Head, Failure or End.
func EncodePayload(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, merry.Prepend(err, "encode an answer frame")
}

// DecodePayload reads a Head, Failure or End.
func DecodePayload(data []byte, into any) error {
	if err := cbor.Unmarshal(data, into); err != nil {
		return merry.Prependf(ErrBadFrame, "%v", err)
	}
	return nil
}

// Append appends the frame's encoding to dst and returns it.
func Append(dst []byte, f Frame) []byte {
	dst = append(dst, byte(f.Type))
	dst = binary.BigEndian.AppendUint64(dst, f.Request)
	dst = binary.BigEndian.AppendUint32(dst, f.Attempt)
	dst = binary.BigEndian.AppendUint64(dst, f.Offset)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(f.Payload)))
	return append(dst, f.Payload...)
}

// Read reads one frame. An end of the stream between frames is io.EOF, one
// within a frame is io.ErrUnexpectedEOF.
func Read(r io.Reader) (Frame, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	f := Frame{
		Type:    FrameType(header[0]),
		Request: binary.BigEndian.Uint64(header[1:]),
		Attempt: binary.BigEndian.Uint32(header[9:]),
		Offset:  binary.BigEndian.Uint64(header[13:]),
	}
	size := binary.BigEndian.Uint32(header[21:])
	if f.Type < FrameHead || f.Type > FrameHeartbeat || size > MaxPayloadBytes {
		return Frame{}, ErrBadFrame
	}
	f.Payload = make([]byte, size)
	if _, err := io.ReadFull(r, f.Payload); err != nil {
		return Frame{}, io.ErrUnexpectedEOF
	}
	return f, nil
}
