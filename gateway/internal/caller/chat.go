package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"baobabpaddle/fleet/controller"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/share"
	"baobabpaddle/gateway/internal/sidecar"
)

// prefixBytes is the number of bytes at the start of a prompt that its prefix hash covers.
const prefixBytes = 1024

// chatRequest has the fields of a chat completion request that the gateway reads.
type chatRequest struct {
	Model     string        `json:"model"`
	MaxTokens int64         `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chatService validates the body of a chat completion request, sets the job's prefix and
// returns the service of the model.
func chatService(view *controller.View, job *sidecar.Job) (*controller.Service, *problem.Problem) {
	var chat chatRequest
	if err := json.Unmarshal(job.Body, &chat); err != nil {
		return nil, problem.NewNotRun(http.StatusBadRequest, problem.MalformedBody, "the body is no chat completion: "+err.Error())
	}
	if chat.Model == "" || len(chat.Messages) == 0 || chat.MaxTokens < 0 {
		return nil, problem.NewNotRun(http.StatusBadRequest, problem.MalformedBody, "want model, messages and a max_tokens that is not negative")
	}
	service := view.ServicesByModel[chat.Model]
	if service == nil {
		return nil, problem.NewNotRun(http.StatusNotFound, problem.UnknownService, "no service has this model")
	}
	var prompt strings.Builder
	for _, m := range chat.Messages {
		prompt.Write(m.Content)
	}
	text := prompt.String()
	job.Prefix = share.HashKey(chat.Model + text[:min(len(text), prefixBytes)])
	return service, nil
}

// validatePlainBody returns a problem if the Content-Type is JSON and the body is not.
func validatePlainBody(r *http.Request, body []byte) *problem.Problem {
	if strings.HasPrefix(r.Header.Get("Content-Type"), "application/json") && len(body) > 0 && !json.Valid(body) {
		return problem.NewNotRun(http.StatusBadRequest, problem.MalformedBody, "the body is no JSON")
	}
	return nil
}
