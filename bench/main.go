// Command bench drives load at hosts and checks what they answered.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"oriolebarrow/bench/demo"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if len(os.Args) < 2 || os.Args[1] != "demo" {
		fmt.Fprintln(os.Stderr, "usage: bench demo [flags]")
		os.Exit(2)
	}
	os.Exit(demo.Main(ctx, os.Args[2:], os.Stdout, os.Stderr))
}
