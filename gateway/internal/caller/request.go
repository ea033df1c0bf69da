package caller

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"

	"baobabpaddle/fleet/answer"
	"baobabpaddle/fleet/state"
	"baobabpaddle/gateway/internal/sidecar"
)

const generatedKeyBytes = 16

// unforwardedHeaders are the headers that are not forwarded to upstreams: those of the
// connection (RFC 9110, section 7.6.1), the caller's credentials, and the idempotency keys.
// An idempotency key makes some transports, such as net/http's, retry a request.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Expect", "Host", "Idempotency-Key", "X-Idempotency-Key",
	"Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardedHeaders returns the headers that are forwarded to the upstream.
func forwardedHeaders(header http.Header) map[string][]string {
	out := make(map[string][]string, len(header))
	for name, values := range header {
		if !slices.Contains(unforwardedHeaders, name) {
			out[name] = values
		}
	}
	return out
}

// newKeyBytes returns random bytes for the idempotency key of a request without one.
func newKeyBytes() []byte {
	out := make([]byte, generatedKeyBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(out)
	return out
}

// digest returns a hash of the request's method, path and body. It detects the reuse of an
// idempotency key for another request.
func digest(job *sidecar.Job) string {
	h := sha256.New()
	h.Write([]byte(job.Method + " " + job.Path + "\n"))
	h.Write(job.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// writeOutcome writes the claim of a request as an Outcome.
func writeOutcome(w http.ResponseWriter, id string, claim state.Claim) {
	out := Outcome{
		RequestID: id,
		Run:       claim.State,
	}
	switch {
	case claim.Answer == nil:
	case !answer.IsFinalStatus(claim.Answer.Status): // recorded by an older sidecar for a failure
		out.Run = state.ClaimUnknown
	default:
		out.Status = claim.Answer.Status
		out.Body = string(claim.Answer.Body)
	}
	w.Header().Set("Content-Type", "application/json")
	limitWrite(http.NewResponseController(w))
	_ = json.NewEncoder(w).Encode(out)
}
