package forecast

import (
	"math"
	"slices"
	"sort"
)

// horizon is the latest time in seconds; everything later counts as never. Finite bounds on
// times, work and cores keep all sums finite.
const (
	horizon  = 1e7
	maxWork  = 1e12
	maxCores = 1e9
)

// release is an amount of cores that becomes free.
type release struct{ at, cores float64 }

// profile is the capacity of a service that the jobs so far leave free over time: the releases
// in the order of their times. The free capacity never falls, since each job takes the
// earliest releases and gives them back at its end.
type profile struct {
	releases []release
	head     int // index of the first release that is not used up
}

func newProfile(cores float64) profile { return profile{releases: []release{{0, cores}}} }

// slot is the part of a profile that a job takes.
type slot struct {
	cores float64
	// end is when the job gives the cores back, left the work that is not done by then.
	end, left float64
}

// find returns the slot of a job that can use the given cores between two times.
func (p *profile) find(work, cores, from, until float64) slot {
	if work <= 0 {
		return slot{end: from}
	}
	taken, start := 0.0, 0.0 // start is the sum of cores x time
	for _, r := range p.releases[p.head:] {
		at := max(r.at, from)
		if taken >= cores || at >= until || taken > 0 && (work+start)/taken <= at {
			break
		}
		c := min(r.cores, cores-taken)
		taken += c
		start += c * at
	}
	if taken <= 0 {
		return slot{end: until, left: work}
	}
	end := (work + start) / taken
	if end <= until {
		return slot{cores: taken, end: end}
	}
	return slot{cores: taken, end: until, left: max(work-(until*taken-start), 0)}
}

// take removes the slot from the profile until its end.
func (p *profile) take(s slot) {
	for need := s.cores; need > 0 && p.head < len(p.releases); {
		r := &p.releases[p.head]
		if r.cores > need {
			r.cores -= need
			break
		}
		need -= r.cores
		p.head++
	}
	if s.cores <= 0 {
		return
	}
	rest := p.releases[p.head:]
	i := sort.Search(len(rest), func(i int) bool { return rest[i].at >= s.end })
	switch {
	case i < len(rest) && rest[i].at == s.end:
		rest[i].cores += s.cores
	case p.head > 0 && i <= len(rest)/2: // use a slot in front
		p.head--
		copy(p.releases[p.head:], rest[:i])
		p.releases[p.head+i] = release{s.end, s.cores}
	default:
		p.releases = slices.Insert(p.releases, p.head+i, release{s.end, s.cores})
	}
}

// clamp returns v within [0, limit]; 0 if it is not a number.
func clamp(v, limit float64) float64 {
	if math.IsNaN(v) || v < 0 {
		return 0
	}
	return min(v, limit)
}
