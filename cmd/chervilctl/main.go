// Command chervilctl is the operators' command-line tool.
package main

import (
	"os"

	"chervilridge/internal/cli"
	"chervilridge/internal/process"
)

func main() { os.Exit(process.ExitCode(cli.New().Execute())) }
