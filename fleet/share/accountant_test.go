package share

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// report returns a report with one waiting team.
func report(team TeamID, localService int64) Report {
	return Report{
		Entries: []ReportEntry{
			{
				Team:         team,
				Epoch:        1,
				LocalService: localService,
				Waiting:      true,
			},
		},
	}
}

func virtualOf(a *Accountant, team TeamID) float64 { return a.accounts[team].virtual }

// TestAccountantIgnoresRepeatedReports guards against service that counts twice because a
// report was repeated, or not at all because one was lost: reports carry running totals.
func TestAccountantIgnoresRepeatedReports(t *testing.T) {
	is := is.New(t)
	a := NewAccountant(AccountantSettings{}, equalWeights)
	a.Report(start, "sidecar-1", "a", report(1, 100))
	a.Report(start, "sidecar-1", "a", report(1, 100)) // repeated
	a.Report(start, "sidecar-2", "a", report(1, 50))
	is.Equal(virtualOf(a, 1), 150.0)
	a.Report(start, "sidecar-1", "a", report(1, 400)) // the one with 250 was lost
	is.Equal(virtualOf(a, 1), 450.0)
}

// TestAccountantKeepsServiceOfRestartedSidecar guards against the loss of a team's service
// when a sidecar restarts and, under a new incarnation, counts from zero.
func TestAccountantKeepsServiceOfRestartedSidecar(t *testing.T) {
	is := is.New(t)
	a := NewAccountant(AccountantSettings{}, equalWeights)
	a.Report(start, "sidecar-1", "a", report(1, 100))
	a.Report(start, "sidecar-1", "b", report(1, 30)) // the restarted sidecar counts from zero
	is.Equal(virtualOf(a, 1), 130.0)
}

// TestAccountantTakesOver builds a new accountant from the sidecars' full reports: the
// difference between the teams' totals is preserved.
func TestAccountantTakesOver(t *testing.T) {
	is := is.New(t)
	old := NewAccountant(AccountantSettings{}, equalWeights)
	queues := []*Queue{NewQueue(QueueSettings{}, equalWeights), NewQueue(QueueSettings{}, equalWeights)}
	names := []string{"sidecar-1", "sidecar-2"}
	now := start
	for i, q := range queues {
		q.SetUpstream(1, 1, false)
		for team := range TeamID(3) {
			q.SetDemand(now, "gateway-1", Demand{
				Team:  team + 1,
				Count: 4,
			})
			q.charge(now, q.teams[team+1], int64(1000*(int(team)+1)*(i+1)))
		}
		old.Report(now, names[i], "a", q.Report(now, false))
	}
	for i, q := range queues { // both receive the totals of the fleet
		q.refreshNextTeams(now)
		q.SetTotals(now, old.Report(now, names[i], "a", q.Report(now, false)))
	}
	before := virtualOf(old, 3) - virtualOf(old, 1)
	fresh := NewAccountant(AccountantSettings{}, equalWeights)
	for i, q := range queues {
		now = now.Add(time.Second)
		fresh.Report(now, names[i], "a", q.Report(now, true))
	}
	is.Equal(virtualOf(fresh, 3)-virtualOf(fresh, 1), before)
}

// TestAccountantLiftsReturningTeam guards against credit accumulated while idle: a team
// that returns starts from virtual time.
func TestAccountantLiftsReturningTeam(t *testing.T) {
	is := is.New(t)
	a := NewAccountant(AccountantSettings{}, equalWeights)
	now := start
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		a.Report(now, "sidecar-1", "a", report(1, int64(100*(i+1))))
	}
	a.Report(now, "sidecar-1", "a", report(2, 0))
	is.True(virtualOf(a, 2) >= 9000)
	is.True(virtualOf(a, 2) <= virtualOf(a, 1))
}

// TestAccountantRepaysLateService reports a large amount of service late, as after a network
// partition. While the team repays it still gets at least 1-DefaultRepayShare of what the
// other team gets, and in the end all of it is repaid.
func TestAccountantRepaysLateService(t *testing.T) {
	is := is.New(t)
	const lump = 20_000
	a := NewAccountant(AccountantSettings{}, equalWeights)
	now := start
	service := map[TeamID]int64{}
	// serve serves team 2 and, unless debtor is zero, that team whenever it is behind.
	serve := func(seconds int, debtor TeamID) {
		for range 10 * seconds {
			now = now.Add(100 * time.Millisecond)
			next := TeamID(2)
			if debtor != 0 && virtualOf(a, 1) < virtualOf(a, 2) {
				next = debtor
			}
			service[next] += 100
			a.Report(now, "sidecar-2", "a", report(next, service[next]))
			if debtor != 0 {
				a.Report(now, "sidecar-2", "a", report(3-next, service[3-next]))
			}
		}
	}
	a.Report(now, "sidecar-1", "a", report(1, 0))
	serve(30, 0)
	a.Report(now, "sidecar-1", "a", report(1, lump))
	is.Equal(a.Debtors(), 1)
	before := [2]int64{service[1], service[2]}
	serve(60, 1)
	got := [2]int64{service[1] - before[0], service[2] - before[1]}
	is.True(float64(got[0]) >= (1-DefaultRepayShare)*0.95*float64(got[1])) // never starved
	is.True(got[0] < got[1])                                               // repays
	serve(300, 1)
	is.Equal(a.Debtors(), 0)
	difference := (service[2] - before[1]) - (service[1] - before[0])
	is.True(difference >= lump-1000)
	is.True(difference <= lump+1000)
}

// TestAccountantLimitsLead gives a team a lead of one minute's service, as for a team that
// found all slots idle. Afterwards it still gets half of its fair share in any minute, and
// in the end the other team has caught up.
func TestAccountantLimitsLead(t *testing.T) {
	is := is.New(t)
	const lead, unit, minute = 60_000, 100, 600
	a := NewAccountant(AccountantSettings{}, equalWeights)
	now := start
	service := map[TeamID]int64{}
	step := func(team TeamID, units int64) {
		now = now.Add(100 * time.Millisecond)
		service[team] += units
		for i := range TeamID(2) {
			a.Report(now, "sidecar-1", "a", report(i+1, service[i+1]))
		}
	}
	for i := range 300 {
		step(TeamID(i%2+1), unit)
	}
	step(1, lead)
	for range 8 {
		before := service[1]
		for range minute {
			next := TeamID(1)
			if virtualOf(a, 2) < virtualOf(a, 1) {
				next = 2
			}
			step(next, unit)
		}
		is.True(float64(service[1]-before) >= 0.5*unit*minute/2) // half of its fair share
	}
	is.Equal(a.Debtors(), 0)
	is.True(service[1]-service[2] <= unit)
}

// TestAccountantForgets guards against memory that grows with every sidecar and team ever
// seen: sidecars that no longer report are removed, and then their idle teams.
func TestAccountantForgets(t *testing.T) {
	is := is.New(t)
	a := NewAccountant(AccountantSettings{}, equalWeights)
	a.Report(start, "sidecar-1", "a", report(1, 100))
	later := start.Add(time.Hour)
	a.Report(later, "sidecar-2", "a", report(2, 100))
	// A report makes the accountant end the wait at the silent sidecar and its team's backlog.
	for range 2 {
		a.Report(later, "sidecar-2", "a", report(2, 100))
		later = later.Add(DefaultIdleAfter + time.Second)
	}
	a.Report(later, "sidecar-2", "a", report(2, 100))
	a.Forget(later)
	is.Equal(len(a.reporters), 1)
	is.Equal(len(a.accounts), 1)
	is.Equal(a.Backlogged(), 1)
}

// TestAccountantCountsSidecars checks that totals tell at how many sidecars a team waits now.
func TestAccountantCountsSidecars(t *testing.T) {
	is := is.New(t)
	a := NewAccountant(AccountantSettings{}, equalWeights)
	a.Report(start, "sidecar-1", "a", report(1, 0))
	totals := a.Report(start, "sidecar-2", "a", report(1, 0))
	is.Equal(totals.Entries[0].Sidecars, 2)
	stopped := report(1, 0)
	stopped.Entries[0].Waiting = false
	a.Report(start, "sidecar-1", "a", stopped)
	totals = a.Report(start, "sidecar-2", "a", report(1, 0))
	is.Equal(totals.Entries[0].Sidecars, 1)
}

// BenchmarkReport measures one report of 100 waiting teams.
func BenchmarkReport(b *testing.B) {
	a := NewAccountant(AccountantSettings{}, equalWeights)
	r := Report{}
	for i := range 100 {
		r.Entries = append(r.Entries, ReportEntry{
			Team:    TeamID(i + 1),
			Epoch:   1,
			Waiting: true,
		})
	}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		for i := range r.Entries {
			r.Entries[i].LocalService += 10
		}
		a.Report(now, "sidecar-1", "a", r)
	}
}

// TestIntermittentTeamDoesNotHoldVirtualTimeBack reports two teams that always wait and one
// that waits intermittently: virtual time follows the two, and the third is behind it by no
// more than intermittentCredit.
func TestIntermittentTeamDoesNotHoldVirtualTimeBack(t *testing.T) {
	is := is.New(t)
	a := NewAccountant(AccountantSettings{}, equalWeights)
	now := start
	for i := range 600 {
		now = now.Add(100 * time.Millisecond)
		r := report(1, int64(100*i))
		r.Entries = append(r.Entries, report(2, int64(100*i)).Entries[0], report(3, int64(i)).Entries[0])
		r.Entries[2].Intermittent = true
		a.Report(now, "sidecar-1", "a", r)
	}
	is.True(a.virtualTime >= 59_000)
	is.True(virtualOf(a, 3) >= a.virtualTime-intermittentCredit)
	is.Equal(a.Debtors(), 0)
	a.Report(now, "sidecar-1", "a", report(4, 0)) // returns from idleness
	is.True(virtualOf(a, 4) >= 59_000)
}
