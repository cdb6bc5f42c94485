// Command backendd is part of bramleystand.
package main

func main() {}
