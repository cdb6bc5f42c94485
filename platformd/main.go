// Command platformd is part of bramleystand.
package main

func main() {}
