// Command entry is part of bramleystand.
package main

func main() {}
