// Package operator lets operators write the configuration of services,
// failure domains and targets in Go and print it as TOML for review.
//
//	c := operator.New("Mast leasing systems.")
//	a := c.Region("om-north").Domain("om-north-a")
//	c.Service("lease-desk").
//		Requests().
//		Address("127.10.0.1:4433").
//		Domains(a).
//		Targets("lease-desk-*").
//		MaxSlots(10).
//		MaxConnections(2000)
//	os.Exit(c.Run(os.Stdout, os.Stderr))
//
// All findings are reported together, each with the file and line of the
// builder call that caused it.
package operator
