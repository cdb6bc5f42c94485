// Command bramleyctl is part of bramleystand.
package main

func main() {}
