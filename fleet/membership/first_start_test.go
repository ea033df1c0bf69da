package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// firstStartTime is the time within which a group forms although one controller is lost.
const firstStartTime = 20 * time.Second

// TestLostFounderIsReplaced guards against a fleet without a group for good: one of three
// controllers is lost at a drawn time of the first start.
func TestLostFounderIsReplaced(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 7))
		withoutDisk := random.IntN(4)
		var seeds []string
		for n := range 3 {
			seeds = append(seeds, address(withoutDisk+n+1))
		}
		f := newFleet(3, withoutDisk, seeds, true)
		lost := seeds[random.IntN(3)]
		f.lostFrom[lost] = epoch.Add(time.Duration(random.Int64N(int64(3 * time.Second))))
		f.run(firstStartTime)
		is.Equal(len(f.formed), 1)
		for a, c := range f.cores {
			is.True(a == lost || c.groupKnown())
		}
	}
}

// TestOneGroupOfManySelections guards against two groups: the controllers of a first start are
// cut from each other, one is lost, and the cuts change, all at drawn times.
func TestOneGroupOfManySelections(t *testing.T) {
	formed := 0
	for seed := range uint64(400) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 8))
		seeds := []string{address(1), address(2), address(3)}
		withoutDisk := random.IntN(4)
		f := newFleet(3+random.IntN(3), withoutDisk, seeds, true)
		if random.IntN(2) == 0 {
			f.lostFrom[seeds[random.IntN(3)]] = epoch.Add(time.Duration(random.Int64N(int64(10 * time.Second))))
		}
		sides := make(map[string]int)
		f.cut = func(a, b string) bool { return sides[a] != sides[b] }
		for range 6 {
			for n := 1; n <= len(f.cores); n++ {
				sides[address(n)] = random.IntN(2)
			}
			f.run(time.Duration(random.Int64N(int64(5 * time.Second))))
		}
		clear(sides)
		f.run(firstStartTime)
		is.True(len(f.formed) <= 1)
		formed += len(f.formed)
		if len(f.formed) == 1 {
			for a, c := range f.cores {
				is.True(!f.up(a) || c.Group().Members.Group == f.formed[0].Group) // nobody is stranded
			}
		}
	}
	t.Logf("%d of 400 fleets formed a group", formed)
}
