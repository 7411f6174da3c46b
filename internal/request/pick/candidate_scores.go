package pick

import (
	"strconv"
	"strings"
	"time"

	"chervilridge/internal/membership"
)

// maxLoggedCandidates is the most candidates that a log line lists with their scores.
// With more candidates, it shows only the choice and the runner-up.
const maxLoggedCandidates = 16

// CandidateScore is a candidate with its score; lower is better.
type CandidateScore struct {
	Agent string
	Score float64
}

// CandidateScores lists the candidates of one decision.
type CandidateScores []CandidateScore

// String returns the candidates as agent=score, separated by spaces.
func (c CandidateScores) String() string {
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

// scorer is implemented by policies that compare members by a score.
type scorer interface {
	scoreOf(m *membership.Member, s ScoreContext) float64
}

func (p *TwoChoices) scoreOf(m *membership.Member, s ScoreContext) float64 { return p.score(m, s) }

func (p *LowestScore) scoreOf(m *membership.Member, s ScoreContext) float64 { return p.score(m, s) }

// scoreCandidates returns the candidates' scores for the log: 0 for all if the policy
// compares no scores, nil if there are more than maxLoggedCandidates.
func scoreCandidates(p Policy, c []*membership.Member, now time.Time) CandidateScores {
	if len(c) > maxLoggedCandidates {
		return nil
	}
	scoreContext := ScoreContext{Now: now, TypicalServiceTime: typicalServiceTime(c)}
	s, scored := p.(scorer)
	out := make(CandidateScores, len(c))
	for i, m := range c {
		out[i].Agent = m.Endpoint.Agent
		if scored {
			out[i].Score = s.scoreOf(m, scoreContext)
		}
	}
	return out
}
