package program

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestFileSizeLimitIsAnError guards against a process that SIGXFSZ ends: a write beyond the
// file size limit must fail like one on a full disk, also to a file that is open already.
func TestFileSizeLimitIsAnError(t *testing.T) {
	is := is.New(t)
	f, err := os.Create(filepath.Join(t.TempDir(), "file"))
	is.NoErr(err)
	defer f.Close()
	var before unix.Rlimit
	is.NoErr(unix.Getrlimit(unix.RLIMIT_FSIZE, &before))
	is.NoErr(unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{
		Cur: 1,
		Max: before.Max,
	}))
	written, err := f.Write([]byte("ab"))
	is.NoErr(unix.Setrlimit(unix.RLIMIT_FSIZE, &before))
	is.Equal(written, 1)
	is.True(errors.Is(err, syscall.EFBIG))
	_, err = f.Write([]byte("b"))
	is.NoErr(err)
}
