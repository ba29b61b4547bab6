// Package scenario runs scripted scenarios over separate processes: the
// daemons, the operators' client and the stand-ins. Scripts are testscript
// files with the custom commands that README.md describes.
package scenario
