// Command amaranthctl is the operators' client.
package main

func main() {}
