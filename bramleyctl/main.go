// Command bramleyctl is the operators' command line.
package main

import (
	"net/http"
	"net/netip"
	"os"

	"bramleystand.org/bramleyctl/internal/command"
	"bramleystand.org/bramleyctl/internal/store"
	"bramleystand.org/common/platform"
)

func main() {
	connect := func(address netip.AddrPort) store.Objects {
		return platform.New(address, http.DefaultClient)
	}
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr, connect))
}
