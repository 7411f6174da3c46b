//go:build review2

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held, broken, notRun = 0, 1, 2
)

// scenarios are the cases by name. Each plays its case in a folder and returns an exit code. With
// trouble unset, it plays the same without the disruption.
var scenarios = map[string]func(repo string, rec *record, trouble bool) (int, error){
	"advice":     playAdvice,
	"evacuation": playEvacuation,
	"mix":        playMix,
	"crowd":      playCrowd,
	"hang":       playHang,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 SCENARIO REPOSITORY FOLDER")
		os.Exit(notRun)
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code, err := scenarios[os.Args[1]](os.Args[2], rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = notRun
	}
	rec.line("exit %d: %s", code, map[int]string{held: "the rule held", broken: "the rule was broken", notRun: "the case could not run"}[code])
	rec.close()
	os.Exit(code)
}
