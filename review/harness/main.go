//go:build review

// Command harness plays one case of the review: it starts the built programs over stand-ins,
// causes the trouble unless TROUBLE=0 is set, and checks the rule. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(j *journal, trouble bool) error{
	"stray-heartbeat": strayHeartbeat,
	"dropped-route":   droppedRoute,
	"same-id":         sameID,
	"late-crash":      lateCrash,
	"late-heartbeat":  lateHeartbeat,
	"lost-append":     lostAppend,
	"pending":         pendingCount,
	"queued-starts":   queuedStarts,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	j := &journal{out: out, began: time.Now()}
	j.log("case %s, trouble %v", os.Args[1], trouble)
	time.AfterFunc(115*time.Second, func() {
		j.log("stopped after 115 s")
		os.Exit(2) // the processes end with their parent
	})
	err = cases[os.Args[1]](j, trouble)
	code := 0
	switch {
	case err != nil:
		j.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		code = 2
	case len(j.broken) > 0:
		for _, b := range j.broken {
			fmt.Println("RULE BROKEN:", b)
		}
		code = 1
	default:
		fmt.Println("the rule held")
	}
	j.log("exit %d", code)
	_ = out.Close()
	os.Exit(code)
}
