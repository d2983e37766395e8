/// Entry point of marjorambayd.
int main() { return 0; }
