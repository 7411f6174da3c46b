// Command bench-capacity prints the slopes that docs/CAPACITY.md works with.
package main

import (
	"flag"
	"fmt"
	"os"

	"k8s.io/klog/v2"

	"chervilridge/internal/bench/capacity"
)

type measurement struct {
	name  string
	run   func(size int) ([]capacity.Row, error)
	sizes []int
}

func main() {
	klog.LogToStderr(false)
	klog.SetOutput(discard{})
	klog.InitFlags(flag.NewFlagSet("klog", flag.ContinueOnError))
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func run() error {
	var rows []capacity.Row
	only := flag.String("only", "", "run only the measurement with this name")
	flag.Parse()
	for _, m := range []measurement{
		{"announcements", capacity.Announcements, []int{11, 100, 500, 1000}},
		{"beats", capacity.Beats, []int{11, 100, 400}},
		{"tasks", capacity.Tasks, []int{1000, 10_000, 30_000}},
		{"rows", capacity.Rows, []int{100, 1000, 10_000}},
		{"processes", capacity.Processes, []int{4, 8, 16}},
		{"requests", capacity.Requests, []int{50, 200, 800}},
	} {
		if *only != "" && *only != m.name {
			continue
		}
		for _, size := range m.sizes {
			out, err := m.run(size)
			if err != nil {
				return err
			}
			rows = append(rows, out...)
		}
	}
	capacity.Print(os.Stdout, rows)
	return nil
}
