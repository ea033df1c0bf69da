package link

import (
	"bufio"
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestFrameThatArrivesSlowlyIsNoSilence guards against snapshots that never arrive: a link
// was closed amid a frame that takes longer than MaxMissedHeartbeats intervals, although
// data arrived all the time, and each attempt begins again at the first byte.
func TestFrameThatArrivesSlowlyIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const (
			heartbeat = time.Second
			pieces    = 100
			pause     = heartbeat / 10
		)
		var writer sync.WaitGroup
		defer writer.Wait()
		x, y := net.Pipe()
		defer x.Close()
		c := newConn[frame](y, bufio.NewReaderSize(y, readBufferBytes), heartbeat, &Stats{})
		defer c.Close()
		go func() { // reads heartbeats
			buffer := make([]byte, lengthBytes)
			for {
				if _, err := x.Read(buffer); err != nil {
					return
				}
			}
		}()
		sent := frame{
			Text: strings.Repeat("a", pieces*readBufferBytes),
		}
		data, err := NewFrame(sent)
		is.NoErr(err)
		is.Equal(int(binary.BigEndian.Uint32(data)), len(data)-lengthBytes)
		writer.Go(func() {
			for len(data) > 0 {
				n, err := x.Write(data[:min(len(data), readBufferBytes)])
				if err != nil {
					return
				}
				data = data[n:]
				time.Sleep(pause)
			}
		})
		received, err := c.Receive()
		is.NoErr(err)
		is.Equal(received, sent)
	})
}
