package answer

// Assembler checks the frames of one attempt and puts them in order. The zero
// value is not usable; set Request and Attempt.
type Assembler struct {
	Request uint64
	Attempt uint32

	offset  uint64
	headed  bool
	settled bool
}

// Offset returns how many bytes of the body have been taken.
func (a *Assembler) Offset() uint64 { return a.offset }

// HasHead reports whether the head has been taken.
func (a *Assembler) HasHead() bool { return a.headed }

// Ended reports whether the answer has ended, whole or failed.
func (a *Assembler) Ended() bool { return a.settled }

// Accept checks a frame. It returns the frame trimmed to what is new and true,
// or false when the frame tells nothing new. Frames of an older attempt are
// dropped; ErrCrossed and ErrGap tell that the stream can't be trusted.
func (a *Assembler) Accept(f Frame) (Frame, bool, error) {
	if f.Request != a.Request || f.Attempt > a.Attempt {
		return Frame{}, false, ErrWrongRequest
	}
	if f.Attempt < a.Attempt || a.settled || f.Type == FrameHeartbeat {
		return Frame{}, false, nil
	}
	switch f.Type {
	case FrameHead:
		fresh := !a.headed
		a.headed = true
		return f, fresh, nil
	case FrameFail:
		a.settled = true
		return f, true, nil
	}
	if !a.headed || f.Offset > a.offset {
		return Frame{}, false, ErrGap
	}
	if f.Type == FrameEnd {
		if f.Offset != a.offset {
			return Frame{}, false, ErrGap
		}
		a.settled = true
		return f, true, nil
	}
	known := a.offset - f.Offset
	if known >= uint64(len(f.Payload)) {
		return Frame{}, false, nil
	}
	f.Payload = f.Payload[known:]
	f.Offset = a.offset
	a.offset += uint64(len(f.Payload))
	return f, true, nil
}
