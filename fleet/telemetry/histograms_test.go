package telemetry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLargestTeamsAreNamed adds values of 10,000 small teams and only then of eight large
// ones: the large teams must get histograms of their own, and the number of histograms
// must stay bounded.
func TestLargestTeamsAreNamed(t *testing.T) {
	is := is.New(t)
	m := NewMetrics()
	h := m.Histograms("seconds")
	for i := range 10_000 {
		h.Update(fmt.Sprintf("small-%d", i), "llm", 1)
	}
	for i := range 50_000 {
		h.Update(fmt.Sprintf("large-%d", i%8), "llm", 1)
		h.Update(fmt.Sprintf("small-%d", i%10_000), "llm", 1)
	}
	for i := range 8 {
		is.True(h.named[fmt.Sprintf("large-%d", i)])
	}
	is.True(len(h.named) <= MaxNamedTeams)
	is.True(len(h.counts) <= countedTeams)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.True(strings.Contains(w.Body.String(), `seconds_count{team="large-0",class="llm"}`))
	is.True(strings.Contains(w.Body.String(), `seconds_count{team="rest",class="llm"}`))
	is.True(strings.Count(w.Body.String(), "seconds_count") <= MaxNamedTeams+1)
}
