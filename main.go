// Command oriolebarrow runs one host of the query tier and its tools.
package main

import (
	"os"

	"oriolebarrow/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
