// Package telemetry gives every program its logger and its metrics: histograms
// for each team and class, bounded in number. The largest teams appear by name,
// all others together as "rest".
package telemetry

import (
	"io"
	"log/slog"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// NewLogger returns a logger whose lines are JSON objects that name the process.
func NewLogger(w io.Writer, process string) *slog.Logger {
	return slog.New(&lineHandler{
		out: w,
	}).With("process", process)
}

// Metrics is the registry of one program.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns an empty registry.
func NewMetrics() *Metrics {
	return &Metrics{
		set: metrics.NewSet(),
	}
}

// RegisterLog registers the figures of a log.
func (m *Metrics) RegisterLog(w *Writer) {
	m.Gauge("log_lines_total", func() float64 { return float64(w.Lines()) })
	m.Gauge("log_bytes_total", func() float64 { return float64(w.Bytes()) })
	m.Gauge("log_lines_dropped_total", func() float64 { return float64(w.Dropped()) })
}

// Counter returns a counter by its full name with labels.
func (m *Metrics) Counter(name string) *metrics.Counter { return m.set.GetOrCreateCounter(name) }

// Gauge registers a gauge that asks f for its value.
func (m *Metrics) Gauge(name string, f func() float64) { m.set.GetOrCreateGauge(name, f) }

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}
