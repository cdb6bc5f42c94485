// Command replay is part of bramleystand.
package main

func main() {}
