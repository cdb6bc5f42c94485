// Command bramleyctl is the command-line tool for operators of bramleystand.
package main

import (
	"net/http"
	"net/netip"
	"os"

	"bramleystand.org/bramleyctl/internal/command"
	"bramleystand.org/bramleyctl/internal/objectstore"
	"bramleystand.org/common/platform"
)

func main() {
	connect := func(address netip.AddrPort) objectstore.ObjectClient {
		return platform.New(address, http.DefaultClient)
	}
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr, connect))
}
