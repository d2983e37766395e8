/// Entry point of marjorambayctl.
int main() { return 0; }
