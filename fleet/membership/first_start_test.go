package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// manySelections is the number of schedules of TestOneGroupOfManySelections.
const manySelections = 400

// firstStartTime is the time within which a group forms although one controller is lost.
const firstStartTime = 20 * time.Second

// drawSeeds returns three of the first addresses, at least some of them of controllers that
// have a disk, which come after those without one.
func drawSeeds(random *rand.Rand, withDisk, withoutDisk, least int) []string {
	for {
		var seeds []string
		disks := 0
		for _, n := range random.Perm(withDisk + withoutDisk)[:3] {
			seeds = append(seeds, address(n+1))
			if n >= withoutDisk {
				disks++
			}
		}
		if disks >= least {
			return seeds
		}
	}
}

// TestLostFounderIsReplaced guards against a fleet without a group for good: a seed is lost at a
// drawn time of the first start, and two or three seeds have a disk.
func TestLostFounderIsReplaced(t *testing.T) {
	for seed := range uint64(400) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 7))
		withDisk, withoutDisk := 3+random.IntN(2), random.IntN(4)
		seeds := drawSeeds(random, withDisk, withoutDisk, 2)
		f := newFleet(withDisk, withoutDisk, seeds, true)
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
	for seed := range uint64(manySelections) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 8))
		withDisk, withoutDisk := 3+random.IntN(3), random.IntN(4)
		seeds := drawSeeds(random, withDisk, withoutDisk, 0)
		f := newFleet(withDisk, withoutDisk, seeds, true)
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
	t.Logf("%d of %d fleets formed a group", formed, manySelections)
}

// TestPausesAtFirstStart guards against two selections of which neither forms a group: one of
// three controllers is lost at the start, and the others pause at drawn times, so that each takes
// the other for silent.
func TestPausesAtFirstStart(t *testing.T) {
	selections := 0
	for seed := range uint64(400) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 9))
		seeds := []string{address(1), address(2), address(3)}
		f := newFleet(3, 0, seeds, true)
		lost := seeds[random.IntN(3)]
		f.lostFrom[lost] = epoch.Add(time.Duration(random.Int64N(int64(time.Second))))
		for f.now.Before(epoch.Add(firstStartTime)) {
			a := seeds[random.IntN(3)]
			f.frozenTill[a] = f.now.Add(time.Duration(random.Int64N(int64(4 * time.Second))))
			f.run(time.Duration(random.Int64N(int64(2 * time.Second))))
		}
		clear(f.frozenTill)
		f.run(firstStartTime)
		is.Equal(len(f.formed), 1)
		for a, c := range f.cores {
			is.True(a == lost || c.groupKnown())
		}
		if len(f.members) > 1 {
			selections++
		}
	}
	t.Logf("more than one selection in %d of 400 fleets", selections)
}
