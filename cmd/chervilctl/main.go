// Command chervilctl is the operators' shell.
package main

import (
	"os"

	"chervilridge/internal/cli"
	"chervilridge/internal/process"
)

func main() { os.Exit(process.ExitCode(cli.New().Execute())) }
