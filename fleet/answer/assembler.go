package answer

// Assembler checks the received frames of one attempt and removes repeated data.
// Request and Attempt must be set before use. It is not safe for concurrent use.
type Assembler struct {
	Request uint64
	Attempt uint32

	offset  uint64 // bytes of the body accepted
	hasHead bool
	ended   bool
}

// Offset returns the number of bytes of the body that have been accepted, which is
// where an interrupted stream has to be resumed.
func (a *Assembler) Offset() uint64 { return a.offset }

// HasHead reports whether the head has been accepted.
func (a *Assembler) HasHead() bool { return a.hasHead }

// Ended reports whether the answer has ended, completely or with a failure.
func (a *Assembler) Ended() bool { return a.ended }

// Accept checks a frame. It returns the frame without data that was accepted before,
// and true, or false if nothing in the frame is new. Frames of an older attempt,
// heartbeats and frames after the end are dropped. After ErrWrongRequest or ErrGap
// the rest of the stream must not be used.
func (a *Assembler) Accept(f Frame) (Frame, bool, error) {
	if f.Request != a.Request || f.Attempt > a.Attempt {
		return Frame{}, false, ErrWrongRequest
	}
	if f.Attempt < a.Attempt || a.ended || f.Type == FrameHeartbeat {
		return Frame{}, false, nil
	}
	switch f.Type {
	case FrameHead:
		isNew := !a.hasHead
		a.hasHead = true
		return f, isNew, nil
	case FrameFail:
		a.ended = true
		return f, true, nil
	}
	if !a.hasHead || f.Offset > a.offset {
		return Frame{}, false, ErrGap
	}
	if f.Type == FrameEnd {
		if f.Offset != a.offset {
			return Frame{}, false, ErrGap
		}
		a.ended = true
		return f, true, nil
	}
	repeated := a.offset - f.Offset
	if repeated >= uint64(len(f.Payload)) {
		return Frame{}, false, nil
	}
	f.Payload = f.Payload[repeated:]
	f.Offset = a.offset
	a.offset += uint64(len(f.Payload))
	return f, true, nil
}
