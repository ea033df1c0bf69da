package answer

import (
	"encoding/binary"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// FrameType is the type of a Frame's payload.
type FrameType uint8

// Types of frames. Their values are part of the encoding.
const (
	// FrameHead carries a Head, at offset zero.
	FrameHead FrameType = iota + 1
	// FrameData carries a part of the body.
	FrameData
	// FrameEnd ends a complete answer and carries an End. Its offset is the length of
	// the body.
	FrameEnd
	// FrameFail ends an answer that cannot be completed and carries a Failure.
	FrameFail
	// FrameHeartbeat keeps an idle stream from timing out.
	FrameHeartbeat
)

// Sizes of frames, in bytes.
const (
	// frameHeaderBytes is the size of type, request, attempt, offset and length.
	frameHeaderBytes = 1 + 8 + 4 + 8 + 4
	// MaxPayloadBytes is the maximum size of a frame's payload.
	MaxPayloadBytes = 1 << 20
)

// Errors returned while reading an answer.
var (
	// ErrBadFrame is returned for a frame that cannot be decoded.
	ErrBadFrame = merry.Sentinel("malformed answer frame")
	// ErrWrongRequest is returned for a frame of another request or a later attempt.
	ErrWrongRequest = merry.Sentinel("answer frame of another request or a later attempt")
	// ErrGap is returned for data or an end before the head, for data beyond what was
	// accepted, and for an end at an offset that is not the length of the body.
	ErrGap = merry.Sentinel("part of the answer is missing before this frame")
	// ErrDiscarded is returned if the data at a cursor's offset has been discarded.
	ErrDiscarded = merry.Sentinel("the answer's data at this offset has been discarded")
	// ErrTruncated is for callers whose stream ends before the answer does.
	ErrTruncated = merry.Sentinel("the stream ended before the answer was complete")
)

// Frame is one part of the answer to one attempt of a request.
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
	// FirstByteMillis is the upstream's time to the first byte of its answer, in
	// milliseconds.
	FirstByteMillis int64 `cbor:"3,keyasint,omitempty"`
}

// Failure is the payload of a FrameFail.
type Failure struct {
	// NotRun is true if the upstream certainly did not run the request.
	NotRun bool   `cbor:"1,keyasint,omitempty"`
	Detail string `cbor:"2,keyasint,omitempty"`
}

// End is the payload of a FrameEnd.
type End struct {
	// Cost is what the request is charged, in units of cost.
	Cost int64 `cbor:"1,keyasint,omitempty"`
}

// EncodePayload returns the encoding of a Head, Failure or End as a frame's payload.
func EncodePayload(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, merry.Prepend(err, "encode the payload of an answer frame")
}

// DecodePayload decodes a frame's payload into a Head, Failure or End. The error wraps
// ErrBadFrame.
func DecodePayload(data []byte, into any) error {
	if err := cbor.Unmarshal(data, into); err != nil {
		return merry.Prependf(ErrBadFrame, "%v", err)
	}
	return nil
}

// Append appends the encoding of a frame to dst and returns the extended slice.
func Append(dst []byte, f Frame) []byte {
	dst = append(dst, byte(f.Type))
	dst = binary.BigEndian.AppendUint64(dst, f.Request)
	dst = binary.BigEndian.AppendUint32(dst, f.Attempt)
	dst = binary.BigEndian.AppendUint64(dst, f.Offset)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(f.Payload)))
	return append(dst, f.Payload...)
}

// Read reads one frame. The error is io.EOF if the stream ends between frames,
// io.ErrUnexpectedEOF if it ends within one, and ErrBadFrame if the frame has an
// unknown type or a payload larger than MaxPayloadBytes.
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
