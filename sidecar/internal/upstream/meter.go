package upstream

import (
	"bytes"
	"encoding/json"
	"time"

	"baobabpaddle/fleet/resource"
)

// promptTokensPerUnit is the number of prompt tokens that cost as much as one generated
// token, which is the unit of cost.
const promptTokensPerUnit = 4

// maxLineBytes is the maximum size of what is held for parsing: a line of an event stream,
// or a whole answer.
const maxLineBytes = 64 << 10

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// Meter measures the service that one request receives, in units of cost: generated tokens
// for a model service, milliseconds of a slot for a plain one. The answer of a model is
// passed to Write as it streams. It is not safe for concurrent use.
type Meter struct {
	kind          resource.ServiceType
	started       time.Time
	line          []byte
	lineTooLong   bool
	tokens        int64
	usageCost     int64 // cost by the usage that the engine reported; zero if none
	body          []byte
	isEventStream bool
}

// NewMeter returns a meter for a request that starts now.
func NewMeter(kind resource.ServiceType, now time.Time) *Meter {
	return &Meter{
		kind:    kind,
		started: now,
	}
}

// usage is the part of a completion, or of its last event, that reports its tokens.
type usage struct {
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

// SetEventStream sets whether the answer is an event stream. It must be called before
// Write.
func (m *Meter) SetEventStream(isEventStream bool) { m.isEventStream = isEventStream }

// Write processes the next bytes of the answer's body, which may end within a line.
func (m *Meter) Write(data []byte) {
	if m.kind != resource.ServiceModel {
		return
	}
	if !m.isEventStream {
		if len(m.body)+len(data) <= maxLineBytes {
			m.body = append(m.body, data...)
		}
		return
	}
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			m.appendToLine(data)
			return
		}
		m.appendToLine(data[:end])
		m.endLine()
		data = data[end+1:]
	}
}

// appendToLine appends data to the current line, unless the line would become longer than
// maxLineBytes; then it sets lineTooLong, and the rest of the line is discarded.
func (m *Meter) appendToLine(data []byte) {
	if m.lineTooLong || len(m.line)+len(data) > maxLineBytes {
		m.lineTooLong = true
		return
	}
	m.line = append(m.line, data...)
}

// endLine processes a complete line. Each data line counts as one token, except for the one
// with the usage and the end mark. A line that is too long to parse counts as a token.
func (m *Meter) endLine() {
	line, tooLong := m.line, m.lineTooLong
	m.line = m.line[:0]
	m.lineTooLong = false
	if !bytes.HasPrefix(line, dataPrefix) {
		return
	}
	payload := bytes.TrimSpace(line[len(dataPrefix):])
	if bytes.Equal(payload, doneMark) {
		return
	}
	if tooLong || !m.readUsage(payload) {
		m.tokens++
	}
}

// readUsage sets usageCost from the usage in a JSON payload. It returns false if the payload
// has none.
func (m *Meter) readUsage(payload []byte) bool {
	if !bytes.Contains(payload, []byte(`"usage"`)) {
		return false
	}
	var u usage
	if json.Unmarshal(payload, &u) != nil || u.Usage == nil {
		return false
	}
	m.usageCost = u.Usage.CompletionTokens + u.Usage.PromptTokens/promptTokensPerUnit
	return true
}

// Served returns the service received so far, in units of cost. It does not include the
// prompt.
func (m *Meter) Served(now time.Time) int64 {
	if m.kind == resource.ServiceModel {
		return m.tokens
	}
	return now.Sub(m.started).Milliseconds()
}

// Cost returns the cost of the whole request, at least one unit. If the engine reported its
// usage, the cost includes the prompt.
func (m *Meter) Cost(now time.Time) int64 {
	if m.kind == resource.ServiceModel && !m.isEventStream {
		m.readUsage(m.body)
	}
	return max(1, m.usageCost, m.Served(now))
}
