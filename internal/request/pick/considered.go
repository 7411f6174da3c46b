package pick

import (
	"strconv"
	"strings"
	"time"

	"chervilridge/internal/membership"
)

// consideredLimit bounds the candidates that a log line lists. With more, it
// shows the choice and the runner-up only.
const consideredLimit = 16

// Scored is a candidate with its score; lower is better.
type Scored struct {
	Agent string
	Score float64
}

// Considered is the candidates of one decision.
type Considered []Scored

// String lists the candidates as agent=score.
func (c Considered) String() string {
	var b strings.Builder
	for i, s := range c {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(s.Agent)
		b.WriteByte('=')
		b.WriteString(strconv.FormatFloat(s.Score, 'g', 4, 64))
	}
	return b.String()
}

// scorer is a policy that rates members.
type scorer interface {
	scoreOf(m *membership.Member, s Scene) float64
}

func (p *TwoChoices) scoreOf(m *membership.Member, s Scene) float64 { return p.score(m, s) }

func (p *Least) scoreOf(m *membership.Member, s Scene) float64 { return p.score(m, s) }

// consider rates the candidates for the log. A policy that compares nothing
// rates all of them 0.
func consider(p Policy, c []*membership.Member, now time.Time) Considered {
	if len(c) > consideredLimit {
		return nil
	}
	scene := Scene{Now: now, Typical: typical(c)}
	rate, rates := p.(scorer)
	out := make(Considered, len(c))
	for i, m := range c {
		out[i].Agent = m.Endpoint.Agent
		if rates {
			out[i].Score = rate.scoreOf(m, scene)
		}
	}
	return out
}
