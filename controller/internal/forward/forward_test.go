package forward

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/twitchtv/twirp"
)

// TestDescribeNamesForwardOnce guards against a cause that stands behind a description of each
// forward, where log lines are cut off.
func TestDescribeNamesForwardOnce(t *testing.T) {
	is := is.New(t)
	err := error(twirp.NewError(twirp.Unavailable, "forwarded too often"))
	for range 3 {
		text := describe(err)
		is.Equal(text, "forward to the leader: forwarded too often")
		err = twirp.NewError(twirp.Unavailable, text)
	}
	is.Equal(describe(errors.New("connection refused")), "forward to the leader: connection refused")
}
